//! Margins and processor time as text.

use std::fmt::{self, Write};

use super::fair_margin::{FairMargins, WINDOW_SECONDS};
use super::fleet_work::FleetWork;

/// Maximum number of teams that are printed, least margins first.
const MAX_PRINTED_TEAMS: usize = 8;

const TOKENS_PER_MILLION: f64 = 1e6;
const MS_PER_SECOND: f64 = 1e3;

/// Renders the least margin, the margins by second and team, and the processor time by router.
pub fn render_margins(work: &FleetWork, margins: &FairMargins) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_least(&mut text, margins);
    let _ = write_margins(&mut text, margins);
    let _ = write_routers(&mut text, work);
    text
}

fn write_least(text: &mut String, margins: &FairMargins) -> fmt::Result {
    let Some(least) = margins.least() else {
        return writeln!(text, "no window of {WINDOW_SECONDS} s with work");
    };
    let window = least.window;
    writeln!(
        text,
        "least margin {:.3}: team {}, from {} s in {WINDOW_SECONDS} s: asked {:.2}, got {:.2}, \
         half of the demand {:.2} million tokens",
        window.margin,
        least.team,
        least.second,
        window.asked / TOKENS_PER_MILLION,
        window.got / TOKENS_PER_MILLION,
        window.due / TOKENS_PER_MILLION
    )
}

fn write_margins(text: &mut String, margins: &FairMargins) -> fmt::Result {
    writeln!(text, "\nmargin by team and first second of the window")?;
    for (team, windows) in margins.teams.iter().take(MAX_PRINTED_TEAMS) {
        write!(text, "{team:<16}")?;
        for window in windows {
            write!(text, " {:>5.2}", window.margin.min(9.99))?;
        }
        writeln!(text)?;
    }
    Ok(())
}

fn write_routers(text: &mut String, work: &FleetWork) -> fmt::Result {
    writeln!(
        text,
        "\nprocessor time by router and second, ms used (last line: ms free, all routers)"
    )?;
    let mut free = vec![0.0; work.seconds];
    for (node, router) in &work.routers {
        write!(text, "{node:<16} of {:>3.0}:", router.processor_share * MS_PER_SECOND)?;
        for (time, free) in router.processor_time.iter().zip(&mut free) {
            let used = time.as_secs_f64();
            *free += (router.processor_share - used).max(0.0);
            write!(text, " {:>4.0}", used * MS_PER_SECOND)?;
        }
        writeln!(text)?;
    }
    write!(text, "{:<24}", "free")?;
    for free in free {
        write!(text, " {:>4.0}", free * MS_PER_SECOND)?;
    }
    writeln!(text)
}
