package sagepulley.standin;

/** Identifies an extent of a volume. */
record ExtentKey(int volume, long extent) {}
