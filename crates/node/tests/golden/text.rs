//! Shows bytes as text, and replaces values that differ from run to run.

use std::fmt::Write as _;
use std::process::Output;

/// Shows bytes as text, one line for each line, with unprintable bytes escaped.
pub fn escape_bytes(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        match byte {
            b'\n' => text.push_str("\\n\n"),
            b'\r' => text.push_str("\\r"),
            b'\\' => text.push_str("\\\\"),
            0x20..=0x7e => text.push(char::from(*byte)),
            _ => drop(write!(text, "\\x{byte:02x}")),
        }
    }
    text
}

/// Replaces the number that follows each occurrence of `marker`.
pub fn without_numbers_after(text: &str, marker: &str, placeholder: &str) -> String {
    let mut parts = text.split(marker);
    let mut result = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let is_digit = |character: char| character.is_ascii_digit() || character == '.';
        let rest = part.trim_start_matches(is_digit);
        result.push_str(marker);
        if rest.len() < part.len() {
            result.push_str(placeholder);
        }
        result.push_str(rest);
    }
    result
}

/// Replaces the word before each occurrence of `marker`, where it is a number.
pub fn without_numbers_before(text: &str, marker: &str, placeholder: &str) -> String {
    let mut parts: Vec<String> = text.split(marker).map(str::to_owned).collect();
    let last = parts.len() - 1;
    for part in &mut parts[..last] {
        let is_digit = |character: char| character.is_ascii_digit() || character == '.';
        let length = part.trim_end_matches(is_digit).len();
        if length < part.len() {
            part.truncate(length);
            part.push_str(placeholder);
        }
    }
    parts.join(marker)
}

/// Replaces the names of the program's types, which occur in some messages of the JSON parser.
pub fn without_type_names(text: &str) -> String {
    let mut parts = text.split("struct ");
    let mut result = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        result.push_str("struct <type>");
        result.push_str(part.trim_start_matches(char::is_alphanumeric));
    }
    result
}

/// Replaces the time and the module of a line of the log. Returns none for other lines.
pub fn normalize_log_line(line: &str) -> Option<String> {
    let mut words = line.splitn(4, ' ');
    let (seconds, fraction) = words.next()?.split_once('.')?;
    let (level, module) = (words.next()?, words.next()?);
    let message = words.next().unwrap_or_default();
    let is_time = seconds.parse::<u64>().is_ok() && fraction.len() == 6;
    (is_time && module.ends_with(':')).then(|| format!("<time> {level} <module>: {message}"))
}

/// The exit status, standard output and standard error of a program, as text.
pub fn describe_output(output: &Output) -> String {
    let status = output
        .status
        .code()
        .expect("the program exits without a signal");
    let mut text = format!("status: {status}\n");
    for (name, content) in [("stdout", &output.stdout), ("stderr", &output.stderr)] {
        if !content.is_empty() {
            let content = String::from_utf8_lossy(content);
            let _ = write!(text, "--- {name}\n{content}");
            if !content.ends_with('\n') {
                text.push_str("<no newline>\n");
            }
        }
    }
    text
}

/// A section of a golden file.
pub fn section(title: &str, content: &str) -> String {
    let end = if content.ends_with('\n') { "" } else { "\n" };
    format!("=== {title}\n{content}{end}\n")
}
