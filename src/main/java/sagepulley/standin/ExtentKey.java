package sagepulley.standin;

/** One extent of a volume. */
record ExtentKey(int volume, long extent) {}
