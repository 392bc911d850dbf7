/** A stored record fails its checksum in a place that a torn write cannot explain. The replica must be wiped and rejoin as a new member. */
export class CorruptStorage extends Error {
  override readonly name = 'CorruptStorage';
}
