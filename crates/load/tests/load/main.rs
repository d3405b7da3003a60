//! The load generator detects every lost, wrong and duplicated response.

mod compare;
mod report;
mod router;
mod run;
