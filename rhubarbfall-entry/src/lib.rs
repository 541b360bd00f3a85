//! The entry process: settings, traffic, control and the operators' interface.
