/**
 * The program's entry point. Everything else is in the packages below it, which use only those
 * beneath them (docs/architecture.md).
 */
package sagepulley;
