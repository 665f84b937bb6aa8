/**
 * The entry point of the program. All other classes are in subpackages, which have no cyclic
 * dependencies (docs/architecture.md).
 */
package sagepulley;
