//! Which counts the next window will bring, by the forecaster that has been
//! right lately.
//!
//! Noise makes the long mean the best forecaster, drift the last window, a trend
//! its continuation; hot experts that alternate make the last window a bad one.

/// How fast the long mean follows.
const SLOW_RATE: f64 = 0.15;

/// How fast the middle mean follows.
const MIDDLE_RATE: f64 = 0.5;

/// How fast errors are forgotten.
const ERROR_RATE: f64 = 0.25;

/// The part of the last difference that a trend goes on with.
const TREND_PART: f64 = 0.7;

/// The part by which another forecaster must be better to be preferred to a
/// slower one: a slower one is steadier.
const PREFERENCE: f64 = 0.97;

/// The closed set of forecasters, from the slowest to the fastest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Forecaster {
    LongMean,
    MiddleMean,
    LastWindow,
    Trend,
}

const FORECASTERS: [Forecaster; 4] =
    [Forecaster::LongMean, Forecaster::MiddleMean, Forecaster::LastWindow, Forecaster::Trend];

/// Forecasts of one layer; all are parts of the whole load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Forecast {
    slow: Vec<f64>,
    middle: Vec<f64>,
    last: Vec<f64>,
    before_last: Vec<f64>,
    errors: [f64; FORECASTERS.len()],
    windows: u32,
}

impl Forecast {
    /// Takes the counts of a window. One without load tells nothing.
    pub(crate) fn take(&mut self, tokens: &[f64]) {
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return;
        }
        let parts: Vec<f64> = tokens.iter().map(|count| count / total).collect();
        if self.windows > 0 {
            self.note_errors(&parts);
        }
        match self.windows {
            0 => {
                self.slow.clone_from(&parts);
                self.middle.clone_from(&parts);
                self.last.clone_from(&parts);
            }
            _ => {
                follow(&mut self.slow, &parts, SLOW_RATE.max(1.0 / f64::from(self.windows + 1)));
                follow(&mut self.middle, &parts, MIDDLE_RATE);
            }
        }
        self.before_last = std::mem::replace(&mut self.last, parts);
        self.windows += 1;
    }

    /// The parts of the load that the next window is expected to bring; `None`
    /// before anything was seen.
    pub(crate) fn expected(&self) -> Option<Vec<f64>> {
        (self.windows > 0).then(|| self.of(self.best()))
    }

    /// How far the best forecaster has been off lately: half the sum of all
    /// differences, so 0 is exact and 1 is all wrong.
    pub(crate) fn error(&self) -> f64 {
        self.errors[self.best() as usize]
    }

    /// Says whether the long mean is the best forecast, so that what differs
    /// from it is noise.
    pub(crate) fn is_steady(&self) -> bool {
        self.best() == Forecaster::LongMean
    }

    /// For how many windows a map is expected to stay good.
    pub(crate) fn horizon_windows(&self) -> f64 {
        match self.best() {
            Forecaster::LongMean => 20.0,
            Forecaster::MiddleMean => 8.0,
            Forecaster::LastWindow | Forecaster::Trend => 4.0,
        }
    }

    fn best(&self) -> Forecaster {
        let mut best = Forecaster::LongMean;
        for forecaster in FORECASTERS {
            let error = self.errors[forecaster as usize];
            if error < self.errors[best as usize] * PREFERENCE {
                best = forecaster;
            }
        }
        best
    }

    fn of(&self, forecaster: Forecaster) -> Vec<f64> {
        match forecaster {
            Forecaster::LongMean => self.slow.clone(),
            Forecaster::MiddleMean => self.middle.clone(),
            Forecaster::LastWindow => self.last.clone(),
            Forecaster::Trend => {
                let pairs = self.last.iter().zip(&self.before_last);
                pairs.map(|(last, before)| (last + TREND_PART * (last - before)).max(0.0)).collect()
            }
        }
    }

    fn note_errors(&mut self, parts: &[f64]) {
        for forecaster in FORECASTERS {
            let forecast = self.of(forecaster);
            let off = forecast.iter().zip(parts).map(|(f, p)| (f - p).abs()).sum::<f64>() / 2.0;
            let error = &mut self.errors[forecaster as usize];
            *error = if self.windows == 1 { off } else { *error + ERROR_RATE * (off - *error) };
        }
    }
}

fn follow(mean: &mut [f64], parts: &[f64], rate: f64) {
    for (mean, part) in mean.iter_mut().zip(parts) {
        *mean += rate * (part - *mean);
    }
}
