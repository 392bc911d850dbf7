/** An engine refused a command, answered nonsense or did not answer in time. */
export class EngineFault extends Error {
  override readonly name = 'EngineFault';
}
