import type { JobEnding } from '@azurecart/scheduling';
import type { PlacedJob, JobUpdate } from '../control/messages.js';
import { METHODS } from '../control/messages.js';
import type { Link } from '../links/index.js';

/** Registry of the jobs that this process has placed; reports their state to its schedulers. */
export class PlacedJobs {
  private readonly jobs = new Map<string, PlacedJob & { placedAt: number }>();

  private schedulers: Link[] = [];

  /** Sends all jobs to newly selected schedulers and releases them on deselected ones. */
  setSchedulers(schedulers: Link[]): void {
    const added = schedulers.filter((link) => !this.schedulers.includes(link));
    const removed = this.schedulers.filter((link) => !schedulers.includes(link));
    this.schedulers = schedulers;
    for (const { placedAt, ...placedJob } of this.jobs.values()) {
      const ageMs = performance.now() - placedAt;
      added.forEach((link) => link.notify(METHODS.adopt, { ...placedJob, ageMs }));
      removed.forEach((link) => notifyRelease(link, { id: placedJob.job.id }));
    }
  }

  /** Adds a job and notifies all schedulers except the one that placed it. */
  register(placedJob: PlacedJob, decidedBy?: Link): void {
    this.jobs.set(placedJob.job.id, { ...placedJob, placedAt: performance.now() });
    for (const link of this.schedulers)
      if (link !== decidedBy) link.notify(METHODS.adopt, placedJob);
  }

  /**
   * Records the first event of a job, which shows that decoding has begun. Sets `isWriting`, the
   * name on the wire for 'is decoding'.
   */
  markDecoding(id: string): void {
    const placedJob = this.jobs.get(id);
    if (!placedJob) return;
    placedJob.isWriting = true;
    this.schedulers.forEach((link) => link.notify(METHODS.progress, { id }));
  }

  /** Removes a job that has ended and releases it on the schedulers. */
  remove(id: string, ending: JobEnding, faultyHelperId?: string): void {
    if (!this.jobs.delete(id)) return;
    this.schedulers.forEach((link) => notifyRelease(link, { id, ending, culprit: faultyHelperId }));
  }
}

/** Notifies a scheduler that a job has ended or is no longer needed. */
export function notifyRelease(link: Link, update: JobUpdate): void {
  link.notify(METHODS.release, update);
}
