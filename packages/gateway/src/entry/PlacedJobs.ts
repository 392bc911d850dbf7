import type { JobEnding } from '@azurecart/scheduling';
import type { AdoptNotice, JobNotice } from '../control/messages.js';
import { METHODS } from '../control/messages.js';
import type { Link } from '../links/index.js';

/** The placed jobs of this process; keeps its schedulers informed of them. */
export class PlacedJobs {
  private readonly jobs = new Map<string, AdoptNotice>();

  private schedulers: Link[] = [];

  /** Tells newly chosen schedulers of all jobs, and those that are none any more to forget them. */
  follow(schedulers: Link[]): void {
    const added = schedulers.filter((link) => !this.schedulers.includes(link));
    const removed = this.schedulers.filter((link) => !schedulers.includes(link));
    this.schedulers = schedulers;
    for (const notice of this.jobs.values()) {
      added.forEach((link) => link.notify(METHODS.adopt, notice));
      removed.forEach((link) => tellRelease(link, { id: notice.job.id }));
    }
  }

  /** Adds a job and tells the schedulers but the one that decided it. */
  add(notice: AdoptNotice, decidedBy?: Link): void {
    this.jobs.set(notice.job.id, notice);
    for (const link of this.schedulers) if (link !== decidedBy) link.notify(METHODS.adopt, notice);
  }

  /** The first event of a job has come. */
  markWriting(id: string): void {
    const known = this.jobs.get(id);
    if (!known) return;
    known.isWriting = true;
    this.schedulers.forEach((link) => link.notify(METHODS.progress, { id }));
  }

  /** Removes a job that has ended. */
  remove(id: string, ending: JobEnding, culprit?: string): void {
    if (!this.jobs.delete(id)) return;
    this.schedulers.forEach((link) => tellRelease(link, { id, ending, culprit }));
  }
}

/** Tells a scheduler that a job has ended or is wanted no more. */
export function tellRelease(link: Link, notice: JobNotice): void {
  link.notify(METHODS.release, notice);
}
