/** No control process that leads could be reached in time. */
export class ControlUnreachable extends Error {
  override readonly name = 'ControlUnreachable';
}
