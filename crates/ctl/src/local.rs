//! Commands that run locally, without a connection.

use std::{fs, io, path};

use losses::{plot, render, report::Report};

use crate::{
    command::Command,
    exit::{Code, Error},
    output::print_line,
};

/// Runs a local command.
///
/// # Errors
///
/// [`Code::InvalidInput`] if a file cannot be read or written.
pub fn run(command: Command) -> Result<Code, Error> {
    match command {
        Command::Losses { json, plot, files } => losses(&files, json, plot.as_deref()),
        _ => Err(invalid_input("this command needs a connection")),
    }
}

fn losses(files: &[String], json: bool, plot: Option<&str>) -> Result<Code, Error> {
    let mut report = Report::default();
    for file in files {
        read(&mut report, file).map_err(|error| invalid_input(&format!("{file}: {error}")))?;
    }
    if let Some(plot) = plot {
        let chart = plot::svg(&report).map_err(|error| invalid_input(&error))?;
        fs::write(plot, chart).map_err(|error| invalid_input(&format!("{plot}: {error}")))?;
    }
    if json {
        print_line!("{:#}", render::json(&report));
    } else {
        print_line!("{}", render::text(&report).trim_end());
    }
    Ok(Code::Success)
}

fn read(report: &mut Report, file: &str) -> io::Result<()> {
    if file == "-" {
        return report.add(io::stdin().lock(), "standard input");
    }
    let name = path::Path::new(file).file_stem();
    let name = name.map_or_else(|| file.into(), |name| name.to_string_lossy());
    report.add(io::BufReader::new(fs::File::open(file)?), &name)
}

fn invalid_input(message: &str) -> Error {
    Error::new(Code::InvalidInput, String::from(message))
}
