import type { CapacityEstimator } from './CapacityEstimator.js';

/** A job that was placed on one engine. */
export interface PlacedPrompt {
  engine: string;
  kind: string;
  /** Predicted time in milliseconds to the first event at an engine that is like its peers. */
  expectedMs: number;
  /** Jobs of the engine, including this one, as a share of its slots. */
  utilisation: number;
}

/** Options of a {@link FirstEventObserver}. */
export interface FirstEventObserverOptions {
  estimator: CapacityEstimator;
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
}

/** Compares the times to the first events of jobs with the predicted ones. */
export class FirstEventObserver {
  private readonly pending = new Map<string, PlacedPrompt & { placedAt: number }>();

  constructor(private readonly options: FirstEventObserverOptions) {}

  recordPlacement(id: string, prompt: PlacedPrompt): void {
    this.pending.set(id, { ...prompt, placedAt: this.options.now() });
  }

  /** @param utilisation - Jobs of the engine by now, as a share of its slots. */
  recordFirstEvent(id: string, utilisation: number): void {
    const prompt = this.pending.get(id);
    if (!prompt || !this.pending.delete(id)) return;
    this.options.estimator.record({
      upstream: prompt.engine,
      kind: prompt.kind,
      duration: (this.options.now() - prompt.placedAt) / Math.max(1, prompt.expectedMs),
      utilisation: Math.max(utilisation, prompt.utilisation),
    });
  }

  /** Discards a job that ended without an event; whose fault that is, others judge. */
  forget(id: string): void {
    this.pending.delete(id);
  }
}
