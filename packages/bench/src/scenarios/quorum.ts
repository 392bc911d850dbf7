import { build } from 'hdr-histogram-js';
import { Random } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';

const ROUNDS = 20_000;
const REPLICAS_PER_DATA_CENTRE = 3;
const MICROSECONDS_PER_MS = 1000;
/** Round-trip time within a data centre. */
const LOCAL_ROUND_TRIP_MS = 0.2;
/** Longest time to sync an entry to disk; the shortest is half of it. */
const MAX_SYNC_MS = 2;
/** Jitter of a round trip, as a fraction of its time. */
const MAX_JITTER = 0.2;
/** Probability that a replica is down, in the availability figures. */
const DOWN_PROBABILITY = 0.3;
/** `remoteMs` is the round-trip time between data centres; with two regions, between the regions. */
const TOPOLOGIES = [
  { name: 'three near data centres', dataCentres: 3, remoteMs: 1 },
  { name: 'five data centres in two regions', dataCentres: 5, remoteMs: 30 },
];

/**
 * Simulates commits with a plain majority and with a two-level majority: a majority of the data
 * centres, each with a majority of its replicas.
 */
export const quorum: Bench = {
  name: 'quorum',
  summary: 'plain and two-level majority: simulated commit latency and availability',
  // The policy has no effect, as the simulation involves no scheduler, so one is enough.
  policies: ['fair'],
  run,
};

interface Replica {
  dataCentre: number;
  responseMs: number;
}

async function run({ seed }: BenchOptions): Promise<Record<string, unknown>> {
  const random = new Random(seed);
  return Object.fromEntries(
    TOPOLOGIES.map((topology) => [topology.name, simulateTopology(topology, random)]),
  );
}

function simulateTopology(
  topology: (typeof TOPOLOGIES)[number],
  random: Random,
): Record<string, unknown> {
  const histograms = { plain: build(), twoLevel: build(), twoLevelTwoPhases: build() };
  const survived = { plain: 0, twoLevel: 0 };
  for (let round = 0; round < ROUNDS; round += 1) {
    const replicas = sampleReplicas(topology, random);
    const twoLevelMs = getTwoLevelMajorityMs(replicas, topology.dataCentres);
    histograms.plain.recordValue(getMajorityMs(replicas) * MICROSECONDS_PER_MS);
    histograms.twoLevel.recordValue(twoLevelMs * MICROSECONDS_PER_MS);
    const secondPhaseMs = getTwoLevelMajorityMs(
      sampleReplicas(topology, random),
      topology.dataCentres,
    );
    histograms.twoLevelTwoPhases.recordValue((twoLevelMs + secondPhaseMs) * MICROSECONDS_PER_MS);
    const alive = replicas.filter(() => random.next() > DOWN_PROBABILITY);
    survived.plain += Number(getMajorityMs(alive, replicas.length) < Infinity);
    survived.twoLevel += Number(getTwoLevelMajorityMs(alive, topology.dataCentres) < Infinity);
  }
  const percentileMs = (name: keyof typeof histograms, percentile: number): number =>
    histograms[name].getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    commitP50Ms: {
      plain: percentileMs('plain', 50),
      twoLevel: percentileMs('twoLevel', 50),
      twoLevelTwoPhases: percentileMs('twoLevelTwoPhases', 50),
    },
    commitP99Ms: {
      plain: percentileMs('plain', 99),
      twoLevel: percentileMs('twoLevel', 99),
      twoLevelTwoPhases: percentileMs('twoLevelTwoPhases', 99),
    },
    availableWithThreeInTenDown: {
      plain: survived.plain / ROUNDS,
      twoLevel: survived.twoLevel / ROUNDS,
    },
  };
}

/** Samples when each replica has synced and answered; the leader is in the first data centre. */
function sampleReplicas({ dataCentres, remoteMs }: (typeof TOPOLOGIES)[number], random: Random) {
  return Array.from({ length: dataCentres * REPLICAS_PER_DATA_CENTRE }, (_, index): Replica => {
    const dataCentre = Math.floor(index / REPLICAS_PER_DATA_CENTRE);
    const roundTripMs = index === 0 ? 0 : getRoundTripMs(dataCentre, remoteMs);
    const jitterMs = roundTripMs * MAX_JITTER * random.next();
    return {
      dataCentre,
      responseMs: roundTripMs + jitterMs + MAX_SYNC_MS * (0.5 + random.next() / 2),
    };
  });
}

/**
 * Data centres from the fourth on are in the second region. The round trip between data centres of
 * the first region is at most 1 ms.
 */
function getRoundTripMs(dataCentre: number, remoteMs: number): number {
  if (dataCentre === 0) return LOCAL_ROUND_TRIP_MS;
  return dataCentre >= 3 ? remoteMs : Math.min(remoteMs, 1);
}

function getMajorityMs(replicas: Replica[], total = replicas.length): number {
  return getNthSmallest(
    replicas.map(({ responseMs }) => responseMs),
    Math.floor(total / 2) + 1,
  );
}

function getTwoLevelMajorityMs(replicas: Replica[], dataCentres: number): number {
  const majority = Math.floor(REPLICAS_PER_DATA_CENTRE / 2) + 1;
  const times = Array.from({ length: dataCentres }, (_, dataCentre) => {
    const local = replicas.filter((replica) => replica.dataCentre === dataCentre);
    return getNthSmallest(
      local.map(({ responseMs }) => responseMs),
      majority,
    );
  });
  return getNthSmallest(times, Math.floor(dataCentres / 2) + 1);
}

function getNthSmallest(values: number[], rank: number): number {
  return [...values].sort((a, b) => a - b)[rank - 1] ?? Infinity;
}
