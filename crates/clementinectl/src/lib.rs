//! The clementinedock command-line tool.
