//! Experiments in virtual time: workloads, policies compared, reports and plots.
