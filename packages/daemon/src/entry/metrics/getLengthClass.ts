const LENGTH_CLASSES: readonly { name: string; maxTokensExclusive: number }[] = [
  { name: 'short', maxTokensExclusive: 4_000 },
  { name: 'medium', maxTokensExclusive: 32_000 },
  { name: 'long', maxTokensExclusive: 200_000 },
];

/**
 * Gets the length class of a prompt, used as a metric label. The classes are independent of
 * `routing.longTokens`.
 */
export function getLengthClass(tokens: number): string {
  return LENGTH_CLASSES.find((each) => tokens < each.maxTokensExclusive)?.name ?? 'huge';
}
