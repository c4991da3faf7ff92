/**
 * Attempt ids: an entry's incarnation and a number that rises with each
 * attempt of that incarnation. An agent need not remember each settled attempt
 * for ever, since it can refuse all numbers up to a bound.
 */

export interface AttemptIdParts {
  readonly entryIncarnation: string;
  readonly number: number;
}

const NUMBER = /^[1-9][0-9]{0,14}$/;

export function formatAttemptId(parts: AttemptIdParts): string {
  return `${parts.entryIncarnation}.${parts.number}`;
}

/** Reads an attempt id, or returns `undefined` if the text is none. */
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
