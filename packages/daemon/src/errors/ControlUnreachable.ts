/** No control process responded as leader within the time limit. */
export class ControlUnreachable extends Error {
  override readonly name = 'ControlUnreachable';
}
