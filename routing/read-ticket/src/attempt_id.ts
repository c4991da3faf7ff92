/**
 * Attempt ids consist of an entry's incarnation and a number that increases with
 * each attempt of that incarnation. An agent can therefore refuse all numbers up
 * to a bound instead of storing every decided attempt.
 */

export interface AttemptIdParts {
  readonly entryIncarnation: string;
  readonly number: number;
}

const NUMBER = /^[1-9][0-9]{0,14}$/;

export function formatAttemptId(parts: AttemptIdParts): string {
  return `${parts.entryIncarnation}.${parts.number}`;
}

/** Parses an attempt id; returns `undefined` if the text is not one. */
export function parseAttemptId(text: string): AttemptIdParts | undefined {
  const dot = text.lastIndexOf(".");
  if (dot < 1) return undefined;
  const number = text.slice(dot + 1);
  if (!NUMBER.test(number)) return undefined;
  return {
    entryIncarnation: text.slice(0, dot),
    number: Number.parseInt(number, 10),
  };
}
