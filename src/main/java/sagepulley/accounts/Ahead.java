package sagepulley.accounts;

/** The units of hops that were out at a node before an operation, by volume: what it waits behind. */
public record Ahead(long[] volumes, double[] units) {
    public static final Ahead NOBODY = new Ahead(new long[0], new double[0]);

    double sum() {
        double sum = 0;
        for (double part : units) {
            sum += part;
        }
        return sum;
    }
}
