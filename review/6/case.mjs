import { fileURLToPath } from 'node:url';
import {
  createDocument,
  Operator,
  runCase,
  Runner,
  sendAttempt,
  sleep,
  System,
  ZONES,
} from '../stand-2.mjs';

/** Bounds in milliseconds of the installation that has evacuations. */
const EVACUATE_MS = 5000;
const PARTITION_MAX_MS = 6000;
const CONTACT_MS = 4000;
/** Milliseconds for which a machine stands still, as in the list of troubles of that installation. */
const FREEZE_MS = 4000;
/** Milliseconds for which requests are judged. */
const JUDGED_MS = 5000;

const [ZONE] = ZONES;
const PATH = `/api/evacuations/${ZONE}`;

/** False with `TROUBLE=0`, which leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';
const RECORD_FILE = fileURLToPath(new URL('record.txt', import.meta.url));

await runCase(RECORD_FILE, async ({ recorder, onEnd }) => {
  recorder.write(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  const system = new System();
  onEnd(() => system.stop());
  await system.start();
  const operator = new Operator({ controls: system.controls, recorder });
  // The first change comes before the traffic.
  const routes = [{ PathPrefix: '/quote/', Service: 'bookings' }];
  await operator.configure(createDocument(3, routes, [{ Name: 'bookings' }]));
  const runners = ZONES.map(
    (zone, index) => new Runner({ id: `i-${index}`, service: 'bookings', zone, system, recorder }),
  );
  for (const runner of runners) await runner.start();
  onEnd(() => runners.forEach((runner) => runner.stop()));
  await system.waitUntilReady();

  const answers = [];
  let isOver = false;
  const clients = system.entries.map(async (entry) => {
    while (!isOver) {
      const answer = await sendAttempt(entry, { path: '/quote/1' });
      answers.push(answer);
      await sleep(100);
    }
  });
  await sleep(CONTACT_MS + 1000);

  // Not the leader, so that the core stays as it is while the machine stands still.
  const leader = system.controls.findLast(({ log }) => log.includes('"role":"leader"'));
  const frozen = system.controls.find((control) => control !== leader);
  const others = system.controls.filter((control) => control !== frozen);
  recorder.write(`leader ${leader.name}, to be frozen: ${frozen.name}`);

  await operator.send('POST', PATH, undefined, others);
  const frozenAt = performance.now();
  if (hasTrouble) {
    frozen.signal('SIGSTOP');
    recorder.write(`${frozen.name} stands still`);
  }
  await operator.send('DELETE', PATH, undefined, [frozen, ...others]);
  await sleep(500);
  const status = await operator.send('POST', PATH, undefined, others);
  if (status !== 200) throw new Error('the evacuation was not acknowledged');
  const acknowledgedAt = performance.now();
  await sleep(Math.max(0, frozenAt + FREEZE_MS - performance.now()));
  if (hasTrouble) {
    frozen.signal('SIGCONT');
    recorder.write(`${frozen.name} goes on`);
  }
  const thawedAt = performance.now();
  // All machines are in touch again, and the bound is over, with the most that an unstable core adds.
  const judgedFrom = Math.max(
    acknowledgedAt + EVACUATE_MS + PARTITION_MAX_MS,
    thawedAt + CONTACT_MS,
  );
  await sleep(judgedFrom + JUDGED_MS - performance.now());
  isOver = true;
  await Promise.all(clients);

  const late = runners
    .filter(({ zone }) => zone === ZONE)
    .flatMap(({ runs }) => runs.filter(({ at }) => at > judgedFrom));
  const all = runners.flatMap(({ runs }) => runs.filter(({ at }) => at > judgedFrom));
  late.forEach(({ at, attempt, runner }) =>
    recorder.write(
      `${attempt} ran at ${runner.id} in ${ZONE}, ${Math.round(at - acknowledgedAt)} ms after the acknowledgement`,
    ),
  );
  recorder.write(
    `answers: ${answers.length}, of them 200: ${answers.filter((a) => a.status === 200).length}`,
  );
  recorder.write(
    `runs when the evacuation had to be in force: ${all.length}, of them in ${ZONE}: ${late.length}`,
  );
  return late.length === 0;
});
