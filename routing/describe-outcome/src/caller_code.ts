/**
 * Codes as callers see them, one form whichever core they come from: `noTarget`
 * and `DANDELIONBANK_NO_TARGET` both become `NO_TARGET`.
 */

const PREFIX = "DANDELIONBANK_";

export function toCallerCode(code: string): string {
  if (code.startsWith(PREFIX)) return code.slice(PREFIX.length);
  const words = code.replace(/[A-Z]/g, (letter) => `_${letter}`);
  return words.toUpperCase();
}

/** The name in the table of reasons. */
export function toReasonCode(code: string): string {
  return toCallerCode(code)
    .toLowerCase()
    .replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
