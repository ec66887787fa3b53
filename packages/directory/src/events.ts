import { defineEvents } from '@papayahill/common'

/** Log events of the directory, 16xx. */
export const DIRECTORY_EVENTS = defineEvents({
  configInForce: { number: 1601, level: 'info', text: 'A configuration version came into force on this instance.' },
  configStale: { number: 1602, level: 'warn', text: 'A configuration older than the one in force was read and ignored.' },
  configMalformed: { number: 1603, level: 'error', text: 'A configuration row could not be read; the current version stays in force.' },
  endpointSeen: { number: 1604, level: 'info', text: 'An endpoint was added to the list.' },
  endpointLeaving: { number: 1605, level: 'info', text: 'An endpoint is leaving; it gets no new work.' },
  endpointGone: { number: 1606, level: 'info', text: 'An endpoint was removed from the list or restarted; it gets no new work.' },
  endpointMalformed: { number: 1607, level: 'warn', text: 'An entry of the list could not be read and is treated as absent.' },
  endpointSuspected: { number: 1608, level: 'info', text: 'An endpoint broke or refused connections and is avoided for a time.' },
  endpointTrusted: { number: 1609, level: 'info', text: 'A suspected endpoint answered again.' },
  endpointCold: { number: 1610, level: 'info', text: 'An endpoint is cold and gets a bounded rate of requests.' },
  domainOut: { number: 1611, level: 'info', text: 'A failure domain was taken out; its endpoints get no new work.' },
  domainBack: { number: 1612, level: 'info', text: 'A failure domain was brought back in.' },
  tableLost: { number: 1613, level: 'warn', text: 'A watched table of the platform cannot be read; the last known state stays in force.' },
  tableRegained: { number: 1614, level: 'info', text: 'A watched table of the platform can be read again.' },
  endpointsHeld: { number: 1615, level: 'info', text: 'Entries missing after an outage are kept until their endpoints have had time to register again.' },
  tableRole: { number: 1616, level: 'info', text: 'This instance started or stopped polling a table in the store for the others.' },
  tableStale: { number: 1617, level: 'info', text: 'The last answer of the store is too old, whoever got it; this instance polls the table itself.' },
  tableChanged: { number: 1618, level: 'info', text: 'Rows of a watched table changed, as the store or a neighbour reported.' },
  tableMessageMalformed: { number: 1619, level: 'warn', text: 'A message about watched tables could not be read and was ignored.' },
  endpointQuiet: { number: 1620, level: 'info', text: 'An endpoint asked for no requests for a time.' },
  noticeMalformed: { number: 1621, level: 'warn', text: 'The time for which an endpoint asked for no requests could not be read and was ignored.' },
  endpointLimited: {
    number: 1622, level: 'info', text: 'An endpoint named, changed or withdrew its limit of requests per second from all instances together.'
  },
  limitMalformed: { number: 1623, level: 'warn', text: 'The limit that an endpoint named is not a positive decimal number; it was ignored or bounded.' },
  tableAnswerDropped: { number: 1624, level: 'warn', text: 'The store answered with an older revision than the one known here; nothing of the answer was applied.' },
  storeRestored: {
    number: 1625, level: 'warn', text: 'The store came back from an older copy; what was known stays in force until it is written again, or its time is over.'
  },
  rowsRetained: { number: 1626, level: 'warn', text: 'Rows and removals that a restored table lacks stay in force.' },
  rowsReleased: { number: 1627, level: 'warn', text: 'Rows were not written again in time after a restore; the restored table is in force for them.' },
  tablePollFailed: { number: 1628, level: 'error', text: 'A poll of a watched table failed because of a bug in the program; polling goes on.' },
  endpointBrittle: {
    number: 1640, level: 'info', text: 'An endpoint said that it is brittle, how many rejections per second it bears, or that it no longer is.'
  },
  rejectionLimitMalformed: {
    number: 1641, level: 'warn', text: 'The number of rejections that a brittle endpoint bears is not a positive decimal number; it was ignored or bounded.'
  }
})
