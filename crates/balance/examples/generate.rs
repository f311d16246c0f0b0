//! Writes a synthetic trace to standard output:
//! `cargo run -p lynxmount-balance --example generate -- KIND STEPS SEED [RANKS EXPERTS LAYERS SLOTS]`.

use std::io::{BufWriter, Write};

use lynxmount_balance::{Shape, TraceKind, generate};

const DEFAULT_SHAPE: [usize; 4] = [32, 64, 4, 3];

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let kind =
        arguments.first().and_then(|name| TraceKind::ALL.into_iter().find(|k| k.name() == name));
    let number = |index: usize| arguments.get(index).and_then(|text| text.parse::<u64>().ok());
    let (Some(kind), Some(steps), Some(seed)) = (kind, number(1), number(2)) else {
        let names: Vec<&str> = TraceKind::ALL.iter().map(|kind| kind.name()).collect();
        eprintln!("usage: generate KIND STEPS SEED [RANKS EXPERTS LAYERS SLOTS]");
        eprintln!("kinds: {}", names.join(", "));
        std::process::exit(2);
    };
    let size = |index: usize| number(3 + index).map_or(DEFAULT_SHAPE[index], |size| size as usize);
    let shape =
        Shape { ranks: size(0), experts: size(1), layers: size(2), slots_per_rank: size(3) };
    let mut out = BufWriter::new(std::io::stdout().lock());
    writeln!(out, "{}", serde_json::to_string(&shape)?)?;
    for counts in generate(kind, shape, steps, seed) {
        for (layer, tokens) in counts.tokens.iter().enumerate() {
            let tokens: Vec<u64> = tokens.iter().map(|count| *count as u64).collect();
            let line = serde_json::json!({ "step": counts.step, "layer": layer, "tokens": tokens });
            writeln!(out, "{line}")?;
        }
    }
    out.flush()
}
