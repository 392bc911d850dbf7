/** No control process responded as leader within the time limit. */
export class ControlUnreachableError extends Error {
  override readonly name = 'ControlUnreachableError';
}
