/** An operator's document that cannot be read or contradicts itself. */
export class InvalidConfiguration extends Error {
  override readonly name = 'InvalidConfiguration';
}
