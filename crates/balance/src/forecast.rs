//! Load forecast for the next window: the forecaster with the lowest recent error of a
//! slow and a fast exponential moving average, the last window, and a damped trend.
//!
//! Which one is best depends on the load: the slow average under noise, the last window
//! under drift, the trend under a steady trend. With alternating hot experts the last
//! window is a bad forecast.

/// The smoothing factor of the slow average.
const SLOW_RATE: f64 = 0.15;

/// The smoothing factor of the fast average.
const FAST_RATE: f64 = 0.5;

/// The smoothing factor of the forecasters' errors.
const ERROR_RATE: f64 = 0.25;

/// The damping of the trend: the fraction of the last difference that continues.
const TREND_DAMPING: f64 = 0.7;

/// A faster forecaster is preferred if its error is below this fraction of a slower
/// one's: slower ones are steadier.
const MAX_ERROR_RATIO: f64 = 0.97;

/// The forecasters, from the slowest to the fastest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Forecaster {
    SlowAverage,
    FastAverage,
    LastWindow,
    Trend,
}

const FORECASTERS: [Forecaster; 4] =
    [Forecaster::SlowAverage, Forecaster::FastAverage, Forecaster::LastWindow, Forecaster::Trend];

/// The forecasts of one layer, as shares of its total load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Forecast {
    slow: Vec<f64>,
    fast: Vec<f64>,
    last: Vec<f64>,
    before_last: Vec<f64>,
    errors: [f64; FORECASTERS.len()],
    windows: u32,
}

impl Forecast {
    /// Updates the forecasts with the counts of a window; ignores one without load.
    pub(crate) fn observe(&mut self, tokens: &[f64]) {
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return;
        }
        let shares: Vec<f64> = tokens.iter().map(|count| count / total).collect();
        if self.windows > 0 {
            self.record_errors(&shares);
        }
        match self.windows {
            0 => {
                self.slow.clone_from(&shares);
                self.fast.clone_from(&shares);
                self.last.clone_from(&shares);
            }
            _ => {
                smooth(&mut self.slow, &shares, SLOW_RATE.max(1.0 / f64::from(self.windows + 1)));
                smooth(&mut self.fast, &shares, FAST_RATE);
            }
        }
        self.before_last = std::mem::replace(&mut self.last, shares);
        self.windows += 1;
    }

    /// The expected shares of the load in the next window; `None` before the first one.
    pub(crate) fn expected(&self) -> Option<Vec<f64>> {
        (self.windows > 0).then(|| self.forecast_by(self.best()))
    }

    /// The recent error of the best forecaster, as a total variation distance: 0 is exact,
    /// 1 is entirely wrong.
    pub(crate) fn error(&self) -> f64 {
        self.errors[self.best() as usize]
    }

    /// Whether the slow average is the best forecast, so that deviations from it are noise.
    pub(crate) fn is_steady(&self) -> bool {
        self.best() == Forecaster::SlowAverage
    }

    /// For how many windows a map is expected to stay suitable.
    pub(crate) fn horizon_windows(&self) -> f64 {
        match self.best() {
            Forecaster::SlowAverage => 20.0,
            Forecaster::FastAverage => 8.0,
            Forecaster::LastWindow | Forecaster::Trend => 4.0,
        }
    }

    fn best(&self) -> Forecaster {
        let mut best = Forecaster::SlowAverage;
        for forecaster in FORECASTERS {
            let error = self.errors[forecaster as usize];
            if error < self.errors[best as usize] * MAX_ERROR_RATIO {
                best = forecaster;
            }
        }
        best
    }

    fn forecast_by(&self, forecaster: Forecaster) -> Vec<f64> {
        match forecaster {
            Forecaster::SlowAverage => self.slow.clone(),
            Forecaster::FastAverage => self.fast.clone(),
            Forecaster::LastWindow => self.last.clone(),
            Forecaster::Trend => {
                let pairs = self.last.iter().zip(&self.before_last);
                pairs
                    .map(|(last, before)| (last + TREND_DAMPING * (last - before)).max(0.0))
                    .collect()
            }
        }
    }

    fn record_errors(&mut self, shares: &[f64]) {
        for forecaster in FORECASTERS {
            let forecast = self.forecast_by(forecaster);
            let error = forecast.iter().zip(shares).map(|(f, s)| (f - s).abs()).sum::<f64>() / 2.0;
            let average = &mut self.errors[forecaster as usize];
            *average =
                if self.windows == 1 { error } else { *average + ERROR_RATE * (error - *average) };
        }
    }
}

fn smooth(average: &mut [f64], shares: &[f64], rate: f64) {
    for (average, share) in average.iter_mut().zip(shares) {
        *average += rate * (share - *average);
    }
}
