/** Tests of entries and rank agents on the platform; exports nothing. */

export {};
