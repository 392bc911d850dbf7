import {
  CapacityEstimator,
  LengthAwarePlacement,
  DeadlineAdmission,
  FairQueue,
  FifoQueue,
  LeastLoadedPlacement,
  QueueLengthAdmission,
  Scheduler,
} from '@azurecart/scheduling';
import type { Ledger, MinimumShares } from '@azurecart/scheduling';
import type { Release } from '@azurecart/protocol';

export interface CreateSchedulerOptions {
  policy: 'fair' | 'baseline';
  ledger: Ledger;
  startWithinMs: number;
  getRelease: () => Release | undefined;
}

/** Creates the scheduler of a shard for the configured scheduling policy. */
export function createScheduler(options: CreateSchedulerOptions): Scheduler {
  const { ledger, startWithinMs, getRelease } = options;
  const now = (): number => performance.now();
  const shared = { ledger, startWithinMs, now };
  if (options.policy === 'baseline') {
    return new Scheduler({
      ...shared,
      queue: new FifoQueue(),
      admission: new QueueLengthAdmission(),
      placement: new LeastLoadedPlacement(),
      isPreemptive: false,
    });
  }
  const capacity = new CapacityEstimator({ now, comparesKinds: true });
  return new Scheduler({
    ...shared,
    capacity,
    queue: new FairQueue(() => getMinimumShares(getRelease())),
    admission: new DeadlineAdmission((priority) => getMinimumShares(getRelease())[priority]),
    placement: new LengthAwarePlacement({ capacity }),
    isPreemptive: true,
  });
}

function getMinimumShares(release: Release | undefined): MinimumShares {
  return {
    urgent: release?.priorities.urgent.minimumShare ?? 0,
    standard: release?.priorities.standard.minimumShare ?? 0,
    batch: release?.priorities.batch.minimumShare ?? 0,
  };
}
