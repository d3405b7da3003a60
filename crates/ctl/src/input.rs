//! Reading of resource files and secrets.

use std::{
    fs,
    io::{self, Read},
};

use config::{file, resource::Resource};

use crate::exit::{Code, Error};

/// Reads the resources in `file`, or from standard input if `file` is `-`.
pub(crate) fn resources(file: &str) -> Result<Vec<Resource>, Error> {
    let text = read_text(file).map_err(|error| {
        let message = format!("{file} cannot be read: {error}");
        Error::new(Code::InvalidInput, message)
    })?;
    file::parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Error::new(Code::InvalidInput, lines.join("\n"))
    })
}

fn read_text(file: &str) -> io::Result<String> {
    // Reads one byte more than allowed, so that the parser detects a file that is too
    // large.
    let limit = file::MAX_SIZE as u64 + 1;
    let mut text = String::new();
    if file == "-" {
        io::stdin().take(limit).read_to_string(&mut text)?;
    } else {
        fs::File::open(file)?
            .take(limit)
            .read_to_string(&mut text)?;
    }
    Ok(text)
}

/// Reads a secret from standard input and returns its BLAKE3 hash in hex.
pub(crate) fn hash() -> Result<String, Error> {
    let mut secret = String::new();
    io::stdin()
        .read_line(&mut secret)
        .map_err(|error| Error::new(Code::InvalidInput, error.to_string()))?;
    let hash = blake3::hash(secret.trim_end().as_bytes());
    Ok(hash.to_hex().to_string())
}
