package sagepulley.codec.resp;

/** Decides when a {@link RespDecoder} decodes its input, and how much of it may be kept. */
public interface InputBudget {
    /** A budget without limits. */
    InputBudget UNLIMITED =
            new InputBudget() {
                @Override
                public boolean mayDecode() {
                    return true;
                }

                @Override
                public boolean reserve(int bytes) {
                    return true;
                }

                @Override
                public void reserveWaiting(int bytes) {}

                @Override
                public void release(int bytes) {}
            };

    /**
     * Returns whether the next value may be decoded. If not, input waits until the channel reads
     * again: the budget's owner turns off auto-read, and on again once there is room.
     */
    boolean mayDecode();

    /**
     * Reserves memory for a value received in part. If it returns false, the decoder discards the
     * value's bytes.
     */
    boolean reserve(int bytes);

    /** Reserves memory for input that was read and has to wait. */
    void reserveWaiting(int bytes);

    /** Returns reserved memory. */
    void release(int bytes);
}
