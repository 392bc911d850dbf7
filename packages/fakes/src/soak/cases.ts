import type { SoakOptions } from './Soak.js';

/** Runs in which a check was violated; `npm run soak -- --cases` runs them again. */
export const CASES: readonly SoakOptions[] = [
  // nothing-lost-around-planned-work: streams that a stopping process accepted and cut at its exit
  { seed: 211, minutes: 0.35 },
  { seed: 212, minutes: 0.35 },
  // nothing-lost-around-planned-work: a request passed on between the close and the exit
  { seed: 314, minutes: 0.3 },
  { seed: 321, minutes: 0.3 },
  { seed: 503, minutes: 0.3 },
  // process-never-died-by-itself: SIGHUP before the process has installed its handler
  { seed: 508, minutes: 0.3 },
  { seed: 605, minutes: 0.3 },
  // departed-runner-gets-nothing: an entry process that started just before the departure
  { seed: 302, minutes: 0.3 },
  // Several checks, cause not traced: the soak's own process was held up for over a second
  { seed: 317, minutes: 0.3 },
  { seed: 327, minutes: 0.3 },
  { seed: 328, minutes: 0.3 },
  // runner-stops-after-client-left, cause not traced: the soak's own process was held up
  { seed: 401, minutes: 0.6, controls: 5, entries: 60 },
];
