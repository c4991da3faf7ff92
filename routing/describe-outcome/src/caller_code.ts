/**
 * Converts internal codes to the form that callers get, which is that of every
 * other error: `noTarget` becomes `DANDELIONBANK_NO_TARGET`.
 */

const PREFIX = "DANDELIONBANK_";

export function toCallerCode(code: string): string {
  if (code.startsWith(PREFIX)) return code;
  const words = code.replace(/[A-Z]/g, (letter) => `_${letter}`);
  return PREFIX + words.toUpperCase();
}

/** Converts a code in either form to its key in `REASONS`. */
export function toReasonCode(code: string): string {
  return toCallerCode(code)
    .slice(PREFIX.length)
    .toLowerCase()
    .replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
