const MIN_CAPACITY = 4096;

/** Joins chunks in one buffer; the time and the memory it takes do not depend on their number. */
export class ByteAccumulator {
  /**
   * @param maxCapacity - Bytes up to which the buffer grows ahead of what is appended.
   * @param growthFactor - Factor by which it grows; a large one leaves fewer buffers behind.
   */
  constructor(
    private readonly maxCapacity = Infinity,
    private readonly growthFactor = 2,
  ) {}

  private buffer: Buffer = Buffer.alloc(0);

  private byteCount = 0;

  get length(): number {
    return this.byteCount;
  }

  /** The bytes appended so far; later chunks do not change them. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.byteCount);
  }

  /** Gets the bytes by which the buffer would grow if so many more were appended. */
  getGrowth(byteCount: number): number {
    if (this.byteCount === 0) return byteCount;
    const length = this.byteCount + byteCount;
    return length > this.buffer.length ? this.getCapacity(length) - this.buffer.length : 0;
  }

  append(chunk: Buffer): void {
    const length = this.byteCount + chunk.length;
    // The first chunk is referenced, and copied only if others follow.
    if (this.byteCount === 0) this.buffer = chunk;
    else {
      if (length > this.buffer.length) this.grow(length);
      chunk.copy(this.buffer, this.byteCount);
    }
    this.byteCount = length;
  }

  private grow(length: number): void {
    const buffer = Buffer.allocUnsafe(this.getCapacity(length));
    this.buffer.copy(buffer, 0, 0, this.byteCount);
    this.buffer = buffer;
  }

  private getCapacity(length: number): number {
    return Math.max(
      length,
      Math.min(this.maxCapacity, Math.max(MIN_CAPACITY, length * this.growthFactor)),
    );
  }
}
