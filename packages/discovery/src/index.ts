/** Soft state of upstreams, merged from sequenced announcements without a replicated log. */
export * from './Announcement.js';
export * from './UpstreamTable.js';
