//! Reads the few JSON values that the stand-ins need. The senders are programs of this
//! project, whose bodies are valid JSON; nothing else is read with it.

/// The text of a string field, with the escapes `\"`, `\\` and `\n` resolved.
pub fn string_field(body: &str, name: &str) -> Option<String> {
    let rest = after_name(body, name)?.strip_prefix('"')?;
    let mut text = String::new();
    let mut chars = rest.chars();
    while let Some(next) = chars.next() {
        match next {
            '"' => return Some(text),
            '\\' => match chars.next()? {
                'n' => text.push('\n'),
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
    None
}

/// The value of a field that holds a whole number.
pub fn number_field(body: &str, name: &str) -> Option<u64> {
    let rest = after_name(body, name)?;
    let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
    rest[..digits].parse().ok()
}

fn after_name<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let quoted = format!("\"{name}\"");
    let rest = body[body.find(&quoted)? + quoted.len()..].trim_start();
    Some(rest.strip_prefix(':')?.trim_start())
}
