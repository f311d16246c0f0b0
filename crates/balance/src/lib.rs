//! Which rank holds which experts: policies, traces and their measures.
