/**
 * The client of the directory: endpoint lists for the membership, and lookups and claims of
 * extents. It owns its connection and pending calls, and is confined to its event loop. Decisions
 * are left to the callers.
 */
package sagepulley.discovery.directory;
