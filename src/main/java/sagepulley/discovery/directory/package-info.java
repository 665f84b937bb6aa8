/**
 * The client of the directory: endpoint lists for the membership, lookups and claims of extents. It
 * owns its connection and pending calls, and decides nothing; all of it is confined to the event
 * loop it is given.
 */
package sagepulley.discovery.directory;
