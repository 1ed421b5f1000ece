//! Standard base64 with padding.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| DIGITS.iter().position(|&digit| digit == byte));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let digit = |index: usize| chunk.get(index).copied().unwrap_or(0);
        let bits = digit(0) << 18 | digit(1) << 12 | digit(2) << 6 | digit(3);
        for index in 0..chunk.len() - 1 {
            bytes.push((bits >> (16 - 8 * index) & 255) as u8);
        }
    }
    bytes
}
