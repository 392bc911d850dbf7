import type { LoadedModel, Release } from '@azurecart/protocol';

/** What an engine has, and what it should have. */
export interface ModelComparison {
  release: Release;
  pool: string;
  loaded: LoadedModel[];
}

/** What to do so that an engine matches the release. */
export interface ModelPlan {
  /** Names of the models that may get new work. */
  serving: Set<string>;
  load: LoadedModel[];
  /** Names of withdrawn models; each is unloaded once no request uses it. */
  unload: string[];
}

/**
 * Compares an engine's models with the release.
 * @remarks A model of another version goes on serving until its turn to be loaded anew comes.
 */
export function planModels({ release, pool, loaded }: ModelComparison): ModelPlan {
  const wanted = release.models.filter((model) => model.pool === pool);
  const names = new Set(wanted.map((model) => model.name));
  const targets = wanted.map((model) => ({
    name: model.name,
    version: model.version,
    adapters: model.adapters.map((adapter) => `${adapter.name}@${adapter.version}`).sort(),
  }));
  return {
    serving: new Set(loaded.map((model) => model.name).filter((name) => names.has(name))),
    load: targets.filter((target) => !loaded.some((model) => isSame(model, target))),
    unload: loaded.map((model) => model.name).filter((name) => !names.has(name)),
  };
}

function isSame(a: LoadedModel, b: LoadedModel): boolean {
  const adapters = [...a.adapters].sort().join(' ');
  return (
    a.name === b.name && a.version === b.version && adapters === [...b.adapters].sort().join(' ')
  );
}
