/** Codes as callers see them: `notKept` becomes `DANDELIONBANK_NOT_KEPT`. */

const PREFIX = "DANDELIONBANK_";

export function toCallerCode(code: string): string {
  if (code.startsWith(PREFIX)) return code;
  const words = code.replace(/[A-Z]/g, (letter) => `_${letter}`);
  return PREFIX + words.toUpperCase();
}
