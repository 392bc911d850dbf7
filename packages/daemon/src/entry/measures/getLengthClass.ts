const CLASSES: readonly { name: string; below: number }[] = [
  { name: 'short', below: 4_000 },
  { name: 'medium', below: 32_000 },
  { name: 'long', below: 200_000 },
];

/** Gets the length class of a prompt. */
export function getLengthClass(tokens: number): string {
  return CLASSES.find((each) => tokens < each.below)?.name ?? 'huge';
}
