package sagepulley.accounts;

/** Sums over one stretch of time that can be added to those of a longer one. */
interface Mergeable<T> {
    void add(T other);

    boolean empty();
}
