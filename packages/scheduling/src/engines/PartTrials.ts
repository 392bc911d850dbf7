interface Trial {
  engine: string;
  parts: string[];
}

/** Prompts with suspect parts that have no event yet; each part and each engine has one at most. */
export class PartTrials {
  private readonly trials = new Map<string, Trial>();

  start(id: string, engine: string, parts: string[]): void {
    this.trials.set(id, { engine, parts });
  }

  /** Ends a trial, if the job is one, after its first event or its end. */
  end(id: string): void {
    this.trials.delete(id);
  }

  /** True if one of the parts is on trial. */
  isRunning(parts: string[]): boolean {
    if (parts.length === 0) return false;
    return [...this.trials.values()].some((trial) =>
      trial.parts.some((part) => parts.includes(part)),
    );
  }

  /** True if an engine is set aside for a trial. */
  hasEngine(engine: string): boolean {
    return [...this.trials.values()].some((trial) => trial.engine === engine);
  }
}
