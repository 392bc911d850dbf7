import type { LoadedModel, Release } from '@azurecart/protocol';

export interface ModelPlanInput {
  release: Release;
  pool: string;
  loaded: LoadedModel[];
}

/** Changes that bring the models of an engine in line with the release. */
export interface ModelPlan {
  /** Names of the models that accept new requests. */
  serving: Set<string>;
  load: LoadedModel[];
  /** Names of models withdrawn from the pool; each is unloaded once no request uses it. */
  unload: string[];
}

/**
 * Compares the models of an engine with those that the release assigns to its pool.
 * @remarks A model with an outdated version or adapters keeps serving until it is reloaded.
 */
export function planModels({ release, pool, loaded }: ModelPlanInput): ModelPlan {
  const desired = release.models.filter((model) => model.pool === pool);
  const names = new Set(desired.map((model) => model.name));
  const targets = desired.map((model) => ({
    name: model.name,
    version: model.version,
    adapters: model.adapters.map((adapter) => `${adapter.name}@${adapter.version}`).sort(),
  }));
  return {
    serving: new Set(loaded.map((model) => model.name).filter((name) => names.has(name))),
    load: targets.filter((target) => !loaded.some((model) => isSameModel(model, target))),
    unload: loaded.map((model) => model.name).filter((name) => !names.has(name)),
  };
}

function isSameModel(a: LoadedModel, b: LoadedModel): boolean {
  const adapters = [...a.adapters].sort().join(' ');
  return (
    a.name === b.name && a.version === b.version && adapters === [...b.adapters].sort().join(' ')
  );
}
