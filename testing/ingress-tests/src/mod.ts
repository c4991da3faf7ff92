/** Tests of entries and rank agents of the users' platform; exports nothing. */

export {};
