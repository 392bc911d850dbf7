/** Soft state about upstreams: ordered announcements, merged without a log. */
export * from './Announcement.js';
export * from './UpstreamTable.js';
