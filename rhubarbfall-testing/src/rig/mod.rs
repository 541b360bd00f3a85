//! Runs separate processes, and kills, freezes and stops them.
