import { build } from 'hdr-histogram-js';
import { Random } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';

const ROUNDS = 20_000;
const PER_DATA_CENTRE = 3;
const MICROSECONDS = 1000;
/** Round trip within a data centre and between two, and the longest sync, in milliseconds. */
const LOCAL_MS = 0.2;
const SYNC_MS = 2;
const LAYOUTS = [
  { name: 'three near data centres', dataCentres: 3, remoteMs: 1 },
  { name: 'five data centres in two regions', dataCentres: 5, remoteMs: 30 },
];

/** Plain majority and the two-level majority of the related paper, by drawn delays. */
export const quorum: Bench = {
  name: 'quorum',
  summary: 'plain and two-level majority: commit time by drawn delays, and failures survived',
  policies: ['fair'],
  run,
};

interface Replica {
  dataCentre: number;
  answerMs: number;
}

async function run({ seed }: BenchOptions): Promise<Record<string, unknown>> {
  const random = new Random(seed);
  return Object.fromEntries(LAYOUTS.map((layout) => [layout.name, compare(layout, random)]));
}

function compare(layout: (typeof LAYOUTS)[number], random: Random): Record<string, unknown> {
  const histograms = { plain: build(), twoLevel: build(), twoLevelTwoPhases: build() };
  const survived = { plain: 0, twoLevel: 0 };
  for (let round = 0; round < ROUNDS; round += 1) {
    const replicas = drawReplicas(layout, random);
    const twoLevelMs = getTwoLevelMs(replicas, layout.dataCentres);
    histograms.plain.recordValue(getPlainMs(replicas) * MICROSECONDS);
    histograms.twoLevel.recordValue(twoLevelMs * MICROSECONDS);
    const secondMs = getTwoLevelMs(drawReplicas(layout, random), layout.dataCentres);
    histograms.twoLevelTwoPhases.recordValue((twoLevelMs + secondMs) * MICROSECONDS);
    const alive = replicas.filter(() => random.next() > 0.3);
    survived.plain += Number(getPlainMs(alive, replicas.length) < Infinity);
    survived.twoLevel += Number(getTwoLevelMs(alive, layout.dataCentres) < Infinity);
  }
  const p = (name: keyof typeof histograms, percentile: number): number =>
    histograms[name].getValueAtPercentile(percentile) / MICROSECONDS;
  return {
    commitP50Ms: {
      plain: p('plain', 50),
      twoLevel: p('twoLevel', 50),
      twoLevelTwoPhases: p('twoLevelTwoPhases', 50),
    },
    commitP99Ms: {
      plain: p('plain', 99),
      twoLevel: p('twoLevel', 99),
      twoLevelTwoPhases: p('twoLevelTwoPhases', 99),
    },
    availableWithThreeInTenDown: {
      plain: survived.plain / ROUNDS,
      twoLevel: survived.twoLevel / ROUNDS,
    },
  };
}

/** Draws when each replica has synced and answered; the leader is in the first data centre. */
function drawReplicas({ dataCentres, remoteMs }: (typeof LAYOUTS)[number], random: Random) {
  return Array.from({ length: dataCentres * PER_DATA_CENTRE }, (_, index): Replica => {
    const dataCentre = Math.floor(index / PER_DATA_CENTRE);
    const tripMs = index === 0 ? 0 : getTripMs(dataCentre, remoteMs);
    const jitterMs = tripMs * 0.2 * random.next();
    return { dataCentre, answerMs: tripMs + jitterMs + SYNC_MS * (0.5 + random.next() / 2) };
  });
}

function getTripMs(dataCentre: number, remoteMs: number): number {
  if (dataCentre === 0) return LOCAL_MS;
  return dataCentre >= 3 ? remoteMs : Math.min(remoteMs, 1);
}

function getPlainMs(replicas: Replica[], total = replicas.length): number {
  return getNth(
    replicas.map(({ answerMs }) => answerMs),
    Math.floor(total / 2) + 1,
  );
}

function getTwoLevelMs(replicas: Replica[], dataCentres: number): number {
  const majority = Math.floor(PER_DATA_CENTRE / 2) + 1;
  const times = Array.from({ length: dataCentres }, (_, dataCentre) => {
    const own = replicas.filter((replica) => replica.dataCentre === dataCentre);
    return getNth(
      own.map(({ answerMs }) => answerMs),
      majority,
    );
  });
  return getNth(times, Math.floor(dataCentres / 2) + 1);
}

function getNth(values: number[], count: number): number {
  return [...values].sort((a, b) => a - b)[count - 1] ?? Infinity;
}
