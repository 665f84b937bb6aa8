package sagepulley.accounts;

/** Sums over one window of time that can be added to those of a longer window. */
interface Mergeable<T> {
    void add(T other);

    boolean isEmpty();
}
