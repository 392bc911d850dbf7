import type { StateMachine } from '../../src/index.js';

/** State machine that appends each command to a list of texts. */
export class TextList implements StateMachine {
  texts: string[] = [];

  apply(command: Uint8Array): number {
    this.texts.push(Buffer.from(command).toString());
    return this.texts.length;
  }

  takeSnapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.texts));
  }

  restore(state: Uint8Array): void {
    this.texts = JSON.parse(Buffer.from(state).toString()) as string[];
  }
}
