// SPDX-License-Identifier: Apache-2.0

// Package events holds the codes of the log events, by which an operator finds each
// one in docs/events.md.
//
// # Usage
//
//	log.Warn("lease expired", events.LeaseExpired, zap.Int64("generation", n))
package events

import "go.uber.org/zap"

// Field is the name of the log field that carries the code.
const Field = "event"

// The events of the node's start, stop and settings.
var (
	NodeStarted  = zap.String(Field, "SB1001")
	NodeDraining = zap.String(Field, "SB1002")
	NodeStopped  = zap.String(Field, "SB1003")
	NodeFailed   = zap.String(Field, "SB1004")
	SettingsRead = zap.String(Field, "SB1005")
)

// The events of leases and shards.
var (
	LeaseNotRenewed  = zap.String(Field, "SB1101")
	LeaseExpired     = zap.String(Field, "SB1102")
	NodesNotRead     = zap.String(Field, "SB1103")
	ShardTaken       = zap.String(Field, "SB1111")
	ShardReleased    = zap.String(Field, "SB1112")
	ShardLost        = zap.String(Field, "SB1113")
	ShardNotLoaded   = zap.String(Field, "SB1114")
	ShardsNotRead    = zap.String(Field, "SB1115")
	ShardNotReleased = zap.String(Field, "SB1116")
)

// The events of the journal.
var (
	JournalBlocked    = zap.String(Field, "SB1201")
	JournalFenced     = zap.String(Field, "SB1202")
	SnapshotNotStored = zap.String(Field, "SB1203")
)

// The events of workers and tasks.
var (
	WorkerSilent          = zap.String(Field, "SB1301")
	WorkerRecovered       = zap.String(Field, "SB1302")
	PoolWorkerQuarantined = zap.String(Field, "SB1303")
	WorkerStaleEpoch      = zap.String(Field, "SB1304")
	HostsNotRead          = zap.String(Field, "SB1305")
	TaskUnknown           = zap.String(Field, "SB1311")
	TaskLost              = zap.String(Field, "SB1312")
	JobFailed             = zap.String(Field, "SB1313")
	TaskNotPlaced         = zap.String(Field, "SB1314")
	ReportNotApplied      = zap.String(Field, "SB1315")
)

// The events of requests.
var (
	RequestOutcomeUnknown = zap.String(Field, "SB1401")
	KeyOutcomeUnknown     = zap.String(Field, "SB1402")
)

// The events of configuration.
var (
	BundleStaged    = zap.String(Field, "SB1501")
	BundleInForce   = zap.String(Field, "SB1502")
	BundleNotRead   = zap.String(Field, "SB1504")
	BundleProposed  = zap.String(Field, "SB1506")
	BundleRolledOut = zap.String(Field, "SB1507")
)

// The events of a shard's owner: jobs, runs and workers.
var (
	JobAdded              = zap.String(Field, "SB1601")
	JobEnded              = zap.String(Field, "SB1602")
	JobEndPersisted       = zap.String(Field, "SB1613")
	RunStarted            = zap.String(Field, "SB1603")
	StartRejected         = zap.String(Field, "SB1604")
	RunEnded              = zap.String(Field, "SB1605")
	RunStopped            = zap.String(Field, "SB1606")
	RunLost               = zap.String(Field, "SB1607")
	RunAdopted            = zap.String(Field, "SB1608")
	RunUnknown            = zap.String(Field, "SB1609")
	AdviceGiven           = zap.String(Field, "SB1610")
	AdviceFailed          = zap.String(Field, "SB1611")
	PaceSet               = zap.String(Field, "SB1612")
	WorkerFound           = zap.String(Field, "SB1621")
	WorkerTakenOver       = zap.String(Field, "SB1622")
	WorkerUnresponsive    = zap.String(Field, "SB1623")
	WorkerResponsive      = zap.String(Field, "SB1624")
	WorkerLeaseExpired    = zap.String(Field, "SB1625")
	WorkerEnded           = zap.String(Field, "SB1626")
	WorkerDraining        = zap.String(Field, "SB1627")
	WorkerQuarantined     = zap.String(Field, "SB1628")
	TakeoverDone          = zap.String(Field, "SB1629")
	WorkerLeaving         = zap.String(Field, "SB1631")
	JobMoved              = zap.String(Field, "SB1630")
	DirectoryEntryInvalid = zap.String(Field, "SB1632")
	TaskWaiting           = zap.String(Field, "SB1633")
	WorkerReinstated      = zap.String(Field, "SB1634")
	JointGang             = zap.String(Field, "SB1635")
	GangWaiting           = zap.String(Field, "SB1636")
	WorkerRestarted       = zap.String(Field, "SB1637")
	WorkerCrashed         = zap.String(Field, "SB1638")
	TaskCrashesWorkers    = zap.String(Field, "SB1639")
	TeamInvalid           = zap.String(Field, "SB1640")
	TeamOverLimit         = zap.String(Field, "SB1641")
	TeamWaits             = zap.String(Field, "SB1642")
	TeamPartGiven         = zap.String(Field, "SB1643")
	DataCentresEvacuated  = zap.String(Field, "SB1644")
	TakeoverWaits         = zap.String(Field, "SB1645")
	StepAlwaysFails       = zap.String(Field, "SB1646")
	JobStalls             = zap.String(Field, "SB1647")
	AdviceLate            = zap.String(Field, "SB1648")
)

// The events of nodes on a platform.
var (
	ShardLoaded        = zap.String(Field, "SB1701")
	RowSkipped         = zap.String(Field, "SB1702")
	StoreFailed        = zap.String(Field, "SB1703")
	ProgressRefused    = zap.String(Field, "SB1733")
	ProgressReconciled = zap.String(Field, "SB1704")
	MachinesNotRead    = zap.String(Field, "SB1705")
	OwnerChanged       = zap.String(Field, "SB1706")
	OwnerSuspected     = zap.String(Field, "SB1707")
	OwnershipTaken     = zap.String(Field, "SB1708")
	OwnershipEnded     = zap.String(Field, "SB1709")
	ConfigInForce      = zap.String(Field, "SB1710")
	JobAccepted        = zap.String(Field, "SB1711")
	JobRefused         = zap.String(Field, "SB1712")
	CancelAccepted     = zap.String(Field, "SB1713")
	PeerLost           = zap.String(Field, "SB1714")
	PeerRecovered      = zap.String(Field, "SB1715")
	StoreRecovered     = zap.String(Field, "SB1716")
	StoreSlow          = zap.String(Field, "SB1717")
	LayoutInForce      = zap.String(Field, "SB1718")
	ProgressFallback   = zap.String(Field, "SB1719")
	PartLoaded         = zap.String(Field, "SB1720")
	SilentConnsClosed  = zap.String(Field, "SB1721")
	ResponseAborted    = zap.String(Field, "SB1722")
	HelperFailed       = zap.String(Field, "SB1723")
	EvacuationsChanged = zap.String(Field, "SB1724")
	DirectoryReading   = zap.String(Field, "SB1725")
	DirectoryDirect    = zap.String(Field, "SB1726")
	ConfigDirect       = zap.String(Field, "SB1727")
	StorePartAway      = zap.String(Field, "SB1730")
	ForecastDiscarded  = zap.String(Field, "SB1728")
	JobOverloaded      = zap.String(Field, "SB1729")
	EarlierOwnersEnded = zap.String(Field, "SB1732")
	OwnershipExpired   = zap.String(Field, "SB1731")
)

// LogLinesDropped is written by the log's writer itself, not through the logger.
const LogLinesDropped = "SB1801"
